package entry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"rockcleat/clock/clocktest"
	"rockcleat/fleet"
	"rockcleat/internal/config"
	"rockcleat/internal/telemetry"
	"rockcleat/internal/wire"
	"rockcleat/table"
)

// TestRedirectIsPassedOn guards against a request that ran at its server and is sent elsewhere too, or is taken for not sent,
// because the response is a redirect to a place that cannot be reached.
func TestRedirectIsPassedOn(t *testing.T) {
	for _, status := range []int{301, 302, 303, 307, 308} {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			t.Run(fmt.Sprint(method, " ", status), func(t *testing.T) {
				closed := httptest.NewServer(nil)
				closed.Close()
				agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set(wire.HeaderOutcome, string(wire.OutcomeAnswered))
					http.Redirect(w, r, closed.URL, status)
				}))
				defer agent.Close()
				w, over := attempt(t, method, agent.Listener.Addr().String())
				assert.Assert(t, over)
				assert.Equal(t, w.Code, status)
				assert.Equal(t, w.Header().Get("Location"), closed.URL)
			})
		}
	}
}

// attempt sends a request of a plain service to the agent at addr. It returns the response and whether the call is over.
func attempt(t *testing.T, method, addr string) (w *httptest.ResponseRecorder, over bool) {
	metrics, err := telemetry.NewMetrics()
	assert.NilError(t, err)
	var settings config.Entry
	config.SetDefaults(&settings)
	e := New(Options{
		Settings: settings, Clock: clocktest.New(time.Unix(1000, 0)), Log: zap.NewNop(), Metrics: metrics, Traffic: &wire.TrafficCounter{},
	})
	e.proxy.controlAddr = func() string { return "" }
	w = httptest.NewRecorder()
	fw := &forwarder{
		proxy: e.proxy, echoContext: echo.New().NewContext(httptest.NewRequest(method, "/s", nil), w),
		call: &call{row: table.NewRow("s")}, finish: func(wire.Outcome) {},
	}
	return w, fw.attempt(fleet.Server{ID: "a", Addr: addr})
}
