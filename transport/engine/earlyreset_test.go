package engine

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/protocol/engineapi"
	"github.com/persimmonmux/persimmonmux/standin/answer"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// promptBytes is the size of a prompt that the connection does not hold.
const promptBytes = 3 << 20

// TestCompletionThatIsResetDuringUploadIsIncomplete guards against a response without a length that
// counts as whole although its engine reset the connection before it had read the prompt.
func TestCompletionThatIsResetDuringUploadIsIncomplete(t *testing.T) {
	for _, upload := range []answer.Upload{answer.ResetUpload, answer.EndAndResetUpload} {
		t.Run(string(upload), func(t *testing.T) {
			c := quicktest.New(t)
			form := answer.Form{
				Status: http.StatusOK, ID: answer.OwnID, Upload: upload,
				Body: `{"model":"kurs@3#7","choices":[{"index":0,"message":{"content":"x"},"finish_reason":"stop"}]}`,
			}
			f := newRawFixtureWith(c, &answer.RawServer{
				Answer: func(net.Conn, *http.Request, bool) bool { return false },
				AnswerEarly: func(conn net.Conn, r *http.Request, _ bool) bool {
					if r.URL.Path != engineapi.PathCompletions {
						return false
					}
					names := answer.Names{ID: engineapi.HeaderRequestID}
					return !form.Write(conn, answer.Request{Names: names, ID: r.Header.Get(names.ID)})
				},
			})
			complete := 0
			for n := range 6 {
				r := f.request(fmt.Sprint(n), false)
				r.Body = fmt.Appendf(nil, `{"model":"kurs@3","messages":[{"role":"user","content":%q}]}`, strings.Repeat("x", promptBytes))
				grant := fleet.Grant{Address: f.engine.Address, Instance: f.instance, EngineStart: 1}
				if _, err := f.client.Complete(context.Background(), grant, r, 0, &chunkRecorder{}); err == nil {
					complete++
				}
			}
			c.Check(complete, quicktest.Equals, 0)
		})
	}
}
