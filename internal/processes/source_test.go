//go:build processes && linux

package processes_test

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// sourceDomain returns the failure domain of the entry host that opened a
// connection, or an empty string if no entry host opened it. All processes have
// the same IP address, so it looks up in /proc which process holds the socket.
func (d *deployment) sourceDomain(connection net.Conn) string {
	remote, ok := connection.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return ""
	}
	local, ok := connection.LocalAddr().(*net.TCPAddr)
	if !ok {
		return ""
	}
	inode := socketInode(remote.Port, local.Port)
	if inode == "" {
		return ""
	}
	for _, h := range d.hosts {
		if hasSocketOpen(h.command.Process.Pid, inode) {
			return h.domain
		}
	}
	return ""
}

// socketInode returns the inode of the TCP socket with the two ports, or an empty
// string if there is none.
func socketInode(local, remote int) string {
	content, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(content)) {
		// The fields of a line are number, local address, remote address, state, queues,
		// timer, retransmits, user, timeout and inode.
		fields := strings.Fields(line)
		if len(fields) > 9 && strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", local)) &&
			strings.HasSuffix(fields[2], fmt.Sprintf(":%04X", remote)) {
			return fields[9]
		}
	}
	return ""
}

// hasSocketOpen reports whether a process has the socket with the inode open.
func hasSocketOpen(pid int, inode string) bool {
	directory := fmt.Sprintf("/proc/%d/fd", pid)
	entries, _ := os.ReadDir(directory)
	for _, entry := range entries {
		if target, err := os.Readlink(filepath.Join(directory, entry.Name())); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
