package dispatch

// outputTokenWeight is how many prompt tokens one generated token counts as in a model's
// demand. By arithmetic: a decoding step of 10.5 ms shared by some 20 running requests
// takes as long as 10 prompt tokens at 0.05 ms each (docs/design/0009).
const outputTokenWeight = 10

// A Demand counts what was asked of one model or adapter since the start.
type Demand struct {
	// Arrived is the number of requests.
	Arrived int `json:"a"`
	// WorkTokens is their work in prompt tokens; a token to generate counts as
	// outputTokenWeight.
	WorkTokens int `json:"t"`
	// Waiting is the number of requests that wait for it now.
	Waiting int `json:"w,omitempty"`
	// Running is the number of requests that run with it now.
	Running int `json:"n,omitempty"`
	// Service is the service asked.
	Service string `json:"s"`
	// ObjectiveMs is the shortest objective for the first byte among its requests, in
	// milliseconds; 0 if one of them had none.
	ObjectiveMs int `json:"o,omitempty"`
}

// demandCounters count what is asked of models and adapters, by Request.target.
type demandCounters struct {
	byTarget map[string]*Demand
}

func newDemandCounters() demandCounters {
	return demandCounters{byTarget: make(map[string]*Demand)}
}

// of returns the counters of a request's model or adapter.
func (c *demandCounters) of(r *Request) *Demand {
	x := c.byTarget[r.target()]
	if x == nil {
		x = &Demand{Service: r.Service}
		c.byTarget[r.target()] = x
	}
	return x
}

// all returns a copy of all counters.
func (c *demandCounters) all() map[string]Demand {
	out := make(map[string]Demand, len(c.byTarget))
	for target, x := range c.byTarget {
		out[target] = *x
	}
	return out
}

// CountArrival counts the arrival of a request for a model.
func (d *Dispatcher) CountArrival(r *Request) {
	if r.Model == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.demand.of(r)
	if ms := int(r.FirstByteObjective.Milliseconds()); x.Arrived == 0 || ms < x.ObjectiveMs {
		x.ObjectiveMs = ms
	}
	x.Arrived++
	x.WorkTokens += r.PromptTokens + outputTokenWeight*r.MaxOutputTokens
}

// Demands returns what was asked of each model and adapter.
func (d *Dispatcher) Demands() map[string]Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.demand.all()
}
