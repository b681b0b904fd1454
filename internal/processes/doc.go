// Package processes tests a deployment of separate processes: entry hosts,
// engines, plain services and a stand-in platform on loopback, under load and
// faults. Its tests need the build tag processes.
package processes
