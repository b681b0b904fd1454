//go:build !linux

package fronthost

import "time"

// clockDifference returns 0: this system has no clock that counts suspensions.
func clockDifference() time.Duration { return 0 }
