package dispatch

import "math"

// outputTokenWeight is the cost of one generated token in prompt tokens. A decoding step of 10.5 ms
// shared by 20 requests takes about as long as the prefill of 10 prompt tokens at 0.05 ms each
// (docs/design/0009).
const outputTokenWeight = 10

// A Demand describes the demand for one model or adapter. Counts are cumulative since the process
// started unless stated otherwise.
type Demand struct {
	// Arrived is the number of requests that have arrived.
	Arrived int `json:"a"`
	// WorkTokens is the work of these requests in prompt tokens: the prompts plus outputTokenWeight
	// for each token to generate.
	WorkTokens int `json:"t"`
	// WorkMs is the work of these requests in milliseconds of engine time. It is 0 for services whose servers have more
	// than Options.MaxCountedSlots slots, and in reports of builds that do not measure it.
	WorkMs int `json:"m,omitempty"`
	// Waiting is the current number of waiting requests.
	Waiting int `json:"w,omitempty"`
	// Running is the current number of requests at servers.
	Running int `json:"n,omitempty"`
	// Service is the name of the service.
	Service string `json:"s"`
	// StreamVersions holds the software versions that resumable streams need now, each followed by a newline: those of
	// the servers that they run at, and those that they wait for. A version stays for streamReturnTime after the last
	// stream. It is empty while the service's servers run one version.
	StreamVersions string `json:"v,omitempty"`
	// ObjectiveMs is the shortest first-byte objective of all requests in milliseconds; 0 if any
	// request had none.
	ObjectiveMs int `json:"o,omitempty"`
}

// demandTable holds the demand for each model and adapter, by Request.targetKey.
type demandTable struct {
	byTarget map[string]*Demand
	// versionNeeds holds the software versions that resumable streams need.
	versionNeeds versionNeeds
}

func newDemandTable() demandTable {
	return demandTable{byTarget: make(map[string]*Demand), versionNeeds: make(versionNeeds)}
}

// get returns the demand for the request's model or adapter, creating it if needed.
func (t *demandTable) get(r *Request) *Demand {
	x := t.byTarget[r.targetKey()]
	if x == nil {
		x = &Demand{Service: r.Service}
		t.byTarget[r.targetKey()] = x
	}
	return x
}

func (t *demandTable) snapshot() map[string]Demand {
	out := make(map[string]Demand, len(t.byTarget))
	for target, x := range t.byTarget {
		out[target] = *x
	}
	return out
}

// CountArrival counts the arrival of a request. Requests to plain services are not counted.
func (d *Dispatcher) CountArrival(r *Request) {
	if r.Model == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.demand.get(r)
	if ms := int(r.FirstByteObjective.Milliseconds()); x.Arrived == 0 || ms < x.ObjectiveMs {
		x.ObjectiveMs = ms
	}
	x.Arrived++
	x.WorkTokens += r.PromptTokens + outputTokenWeight*r.MaxOutputTokens
	x.WorkMs += int(math.Round(d.engineTime(r)))
}

// Demands returns the demand for each model and adapter. Keys have the form MODEL or MODEL/ADAPTER.
func (d *Dispatcher) Demands() map[string]Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.demand.snapshot()
	d.addStreamVersions(out)
	return out
}
