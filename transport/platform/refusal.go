package platform

import (
	"encoding/json"
	"fmt"

	"github.com/persimmonmux/persimmonmux/protocol/platformstore"
)

// A refusal is an answer of the platform that is not a success.
type refusal struct {
	status  int
	code    string
	message string
}

// Error returns the status, code and message.
func (r *refusal) Error() string {
	return fmt.Sprintf("platform: status %d, code %q: %s", r.status, r.code, r.message)
}

// refuse reads the body of a failure. Without a readable body the code is empty,
// which proves nothing.
func refuse(status int, body []byte) *refusal {
	var failure platformstore.Failure
	if err := json.Unmarshal(body, &failure); err != nil {
		return &refusal{status: status, message: "no readable reason"}
	}
	return &refusal{status: status, code: failure.Code, message: failure.Message}
}
