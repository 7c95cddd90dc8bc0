package gateway

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/internal/wire"
)

// TestOutputEstimateOfCallers guards against requests that are refused, or demand that is distorted, because of a
// malformed estimate: it is ignored.
func TestOutputEstimateOfCallers(t *testing.T) {
	tests := map[string]struct {
		header string
		want   int
	}{
		"none":       {},
		"a number":   {header: "250", want: 250},
		"spaces":     {header: " 250 ", want: 250},
		"text":       {header: "many"},
		"negative":   {header: "-5"},
		"fraction":   {header: "2.5"},
		"absurd":     {header: "99999999999"},
		"two values": {header: "250,300"},
	}
	p := &proxy{names: wire.HeaderNames{OutputEstimate: "X-Estimate"}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			in := &inbound{Request: &http.Request{Header: http.Header{"X-Estimate": {test.header}}}}
			assert.Equal(t, p.outputEstimate(in), test.want)
		})
	}
}
