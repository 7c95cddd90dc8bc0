package gateway_test

import (
	"net/http"
	"testing"
)

// TestAnswerBehindACutRefusal checks requests whose answers come behind the first part of a refusal, cut at each of its bytes. It
// guards against a response that is read from the status of the refusal and the fields of the answer.
func TestAnswerBehindACutRefusal(t *testing.T) {
	refusals := map[string]surplus{
		"421": refusalOf(http.StatusMisdirectedRequest), "421, id last": {status: 421, cut: 100, idLast: true},
		"421 without an id": {status: 421, cut: 100, naming: namesNone},
		"503":               refusalOf(http.StatusServiceUnavailable), "503, id last": {status: 503, cut: 100, idLast: true},
		"503 without an id": {status: 503, cut: 100, naming: namesNone}, "success": {status: 200, cut: 100},
	}
	for name, refusal := range refusals {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runs := newRunCounter()
			cut := 0
			env := newTestEnv(t, newFakeServer(t, "a", running(runs, func(c *call, earlier string) bool {
				if earlier != "" {
					text := refusal.text(earlier, c.id())
					cut = min(cut+1, len(text))
					c.write(text[:cut])
				}
				return c.writeFramed(http.StatusOK, framed)
			})))
			var results []callResult
			for range 2 * len(refusal.text(requestID(100), "")) {
				results = append(results, env.callNext(results, &plannedCall{method: http.MethodPost, path: pathUnsafe}))
			}
			checkReplies(t, runs, results)
		})
	}
}
