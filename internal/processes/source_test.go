//go:build processes && linux

package processes_test

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// sourceOf returns the failure domain of the entry host that opened a
// connection, or nothing when the peer is no entry host. All processes use the
// same IP address, so the kernel's lists say which one holds the socket.
func (d *deployment) sourceOf(connection net.Conn) string {
	remote, ok := connection.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return ""
	}
	local, ok := connection.LocalAddr().(*net.TCPAddr)
	if !ok {
		return ""
	}
	inode := inodeOf(remote.Port, local.Port)
	if inode == "" {
		return ""
	}
	for _, h := range d.hosts {
		if holds(h.command.Process.Pid, inode) {
			return h.domain
		}
	}
	return ""
}

// inodeOf returns the inode of the socket with the two ports.
func inodeOf(local, remote int) string {
	content, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(content)) {
		// The fields are number, local address, remote address, state, queues,
		// timer, retransmits, user, timeout and inode.
		fields := strings.Fields(line)
		if len(fields) > 9 && strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", local)) &&
			strings.HasSuffix(fields[2], fmt.Sprintf(":%04X", remote)) {
			return fields[9]
		}
	}
	return ""
}

// holds says whether a process has a socket open.
func holds(process int, inode string) bool {
	directory := fmt.Sprintf("/proc/%d/fd", process)
	entries, _ := os.ReadDir(directory)
	for _, entry := range entries {
		if target, err := os.Readlink(filepath.Join(directory, entry.Name())); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
