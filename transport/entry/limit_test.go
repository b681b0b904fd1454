package entry_test

import "syscall"

// connectionCount returns ten thousand, or fewer when the file limit of the
// process does not allow both ends of that many connections.
func connectionCount() int {
	const spare = 200
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 100
	}
	return int(min(10_000, (limit.Cur-spare)/2))
}
