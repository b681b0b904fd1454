package entry_test

import "syscall"

// connectionCount returns how many connections a test opens: 10,000, or fewer if
// the limit on open files does not allow both ends of that many connections.
func connectionCount() int {
	// spare is the number of files left for everything else in the process.
	const spare = 200
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 100
	}
	return int(min(10_000, (limit.Cur-spare)/2))
}
