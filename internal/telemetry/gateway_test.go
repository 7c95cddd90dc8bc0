package telemetry_test

import (
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/internal/telemetry"
)

func TestGatewayMetrics(t *testing.T) {
	m, err := telemetry.NewGatewayMetrics()
	assert.NilError(t, err)
	for i := range 200 {
		m.RequestEnded(fmt.Sprint("r", i), "answered", 0.03, 0.3)
	}
	m.RequestEnded("r1", "refused", 0, 0.1)
	m.RequestSent("llm", false)
	m.RequestSent("llm", true)
	m.StoreCall("read")
	m.ProcessorRefused()
	m.ConnectionsAccepted("taken", 1)
	m.IntakeObserved(7, 0.25)
	m.IntakeObserved(5, 0.5)
	m.Admissions(2, 1, 4)
	m.Admissions(1, 2, 0)
	m.QueueWaited("llm", 0.1, 0.4)
	m.ConfigTransfer("store", 900, nil)
	m.ConfigTransfer("gateway", 50, nil)
	m.ConfigTransfer("gateway", 0, errors.New("no answer"))
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	text := w.Body.String()
	for _, want := range []string{
		`rockcleat_gateway_requests_total{outcome="answered",route="r1"} 1`,
		`rockcleat_gateway_requests_total{outcome="refused",route="r1"} 1`,
		`rockcleat_gateway_requests_total{outcome="answered",route="other"} 136`,
		`rockcleat_gateway_sends_total{kind="repeat",service="llm"} 1`,
		`rockcleat_gateway_store_calls_total{kind="read"} 1`,
		`rockcleat_gateway_processor_refusals_total 1`,
		`rockcleat_gateway_connections_total{result="taken"} 1`,
		`rockcleat_gateway_pending_requests 5`,
		`rockcleat_gateway_processor_seconds_total 0.75`,
		`rockcleat_gateway_places_total{result="denied"} 3`,
		`rockcleat_gateway_places_total{result="granted"} 3`,
		`rockcleat_gateway_places_total{result="silent"} 4`,
		`rockcleat_gateway_config_transfers_total{from="gateway",result="failed"} 1`,
		`rockcleat_gateway_config_transfers_total{from="store",result="complete"} 1`,
		`rockcleat_gateway_config_bytes_total{from="gateway"} 50`,
		`rockcleat_gateway_queue_wait_seconds_bucket{service="llm",le="0.5"} 1`,
		`rockcleat_gateway_queue_wait_error_seconds_bucket{service="llm",le="0.2"} 0`,
		`rockcleat_gateway_first_byte_seconds_bucket{route="r2",le="0.05"} 1`,
	} {
		assert.Assert(t, strings.Contains(text, want), "%s is not in\n%s", want, text)
	}
	assert.Assert(t, !strings.Contains(text, `route="r150"`), "the number of routes is bounded")
}
