//go:build !linux

package fronthost

import "time"

// clockDifference returns 0, because suspensions are only measured on Linux.
func clockDifference() time.Duration { return 0 }
