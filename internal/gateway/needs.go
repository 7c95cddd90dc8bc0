package gateway

import (
	"encoding/binary"
	"strconv"
	"strings"
	"time"

	"rockcleat/dispatch"
	"rockcleat/table"
)

// Parameters of the time that a request may wait for a server.
const (
	// minCallerWait is the minimum time for which a caller is assumed to wait for the first byte.
	minCallerWait = 2 * time.Second
	// callerWaitFactor is multiplied by the objective for the first byte, or by twice the objective for the gap between
	// events, to estimate how long a caller waits.
	callerWaitFactor = 4
	// queueTimeFraction is the fraction of the time that the caller is assumed to wait for the first byte during which
	// the request may wait for a server.
	queueTimeFraction = 0.8
	// sendByPercent is the percentage of the first-byte objective within which a request must be sent to meet it.
	sendByPercent = 70
	// plainSendByPercent is the same for plain services, where the work takes most of the objective: one request in ten
	// takes twice the mean.
	plainSendByPercent = 40
	// maxOutputEstimate is the highest credible estimate of an output in tokens.
	maxOutputEstimate = 1 << 20
	// responseReserve is the part of the deadline that is reserved for the response.
	responseReserve = 400 * time.Millisecond
)

// maxWait returns how long the request may wait for a server. It is limited by the time that the caller is assumed to
// wait and by the deadline less responseReserve.
func (in *inbound) maxWait() time.Duration {
	callerWait := max(minCallerWait, callerWaitFactor*in.route.FirstByteObjective, 2*callerWaitFactor*in.route.EventGapObjective)
	wait := time.Duration(float64(callerWait) * queueTimeFraction)
	return max(min(wait, in.deadline.Sub(in.arrived)-responseReserve), 0)
}

// sendByPercent returns the percentage of the first-byte objective within which the request must be sent to meet it.
func (in *inbound) sendByPercent() time.Duration {
	if in.service.Engine == nil {
		return plainSendByPercent
	}
	return sendByPercent
}

// requirementsOf returns the dispatcher's view of a request with the given prompt. Malformed model headers are logged and ignored; the server
// decides whether to accept them.
func (p *proxy) requirementsOf(in *inbound, prompt []promptPart) dispatch.Request {
	req := dispatch.Request{
		Service: in.service.Name, Priority: in.route.Priority,
		WaitUntil: in.arrived.Add(in.maxWait()), FirstByteObjective: in.route.FirstByteObjective,
		Organisation: in.organisation.Name, Weight: in.organisation.RateLimit.PerSecond, Arrived: in.arrived, Deadline: in.deadline,
		ContentKey: binary.BigEndian.Uint64(in.content.Key[:]),
	}
	if objective := in.route.FirstByteObjective; objective > 0 {
		req.SendBy = in.arrived.Add(objective * in.sendByPercent() / 100)
	}
	req.Resumable = in.route.Retry == table.RetryResume
	if version := in.requiredVersion(); version != nil {
		// A server has processed the beginning of the stream.
		req.Version, req.MayHaveRun = version, true
	}
	req.Halls = p.regions.allowedHalls(in.route.Regions, in.organisation.Regions)
	if in.service.Engine == nil {
		return req
	}
	req.Model, req.Adapter = in.target.Model, in.target.Name
	req.PromptTokens, req.MaxOutputTokens = p.tokenCounts(in)
	req.OutputEstimate = p.outputEstimate(in)
	req.Prefix = p.prefixBlocks(in, prompt)
	req.Gap = dispatch.GapBudget{
		MaxGap: dispatch.InMilliseconds(in.route.EventGapObjective), StepsPerEvent: in.service.Engine.TokensPerEvent,
	}
	return req
}

// tokenCounts parses the header PROMPT,OUTPUT; either number may be missing.
func (p *proxy) tokenCounts(in *inbound) (prompt, output int) {
	header := in.Header.Get(p.names.Tokens)
	promptText, outputText, _ := strings.Cut(header, ",")
	return p.tokens(in, promptText), p.tokens(in, outputText)
}

// tokens parses a number of tokens. It returns 0 if the number is missing or malformed.
func (p *proxy) tokens(in *inbound, text string) int {
	text = strings.TrimSpace(text)
	if text == "" {
		return 0
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		p.requestLog.malformedHeader(in, p.names.Tokens, text)
		return 0
	}
	return n
}

// outputEstimate returns the caller's estimate of the number of tokens that will be generated, or 0 if there is none or it
// is malformed.
func (p *proxy) outputEstimate(in *inbound) int {
	n, err := strconv.Atoi(strings.TrimSpace(in.Header.Get(p.names.OutputEstimate)))
	if err != nil || n < 0 || n > maxOutputEstimate {
		return 0
	}
	return n
}

// A promptPart is one ID:TOKENS block of a prompt as the caller sent it. A block without a colon has an empty id.
type promptPart struct {
	text, id, tokens string
}

// parsePrompt parses a comma-separated list of ID:TOKENS blocks. It keeps malformed blocks, so that the last part stays
// the last one.
func parsePrompt(header string) []promptPart {
	if header == "" {
		return nil
	}
	items := strings.Split(header, ",")
	parts := make([]promptPart, len(items))
	for i, item := range items {
		parts[i].text = item
		if id, tokens, ok := strings.Cut(strings.TrimSpace(item), ":"); ok {
			parts[i].id, parts[i].tokens = id, tokens
		}
	}
	return parts
}

// partIDs returns the IDs of the parts of a prompt.
func partIDs(parts []promptPart) []string {
	ids := make([]string, len(parts))
	for i, part := range parts {
		ids[i] = part.id
	}
	return ids
}

// prefixBlocks returns the parts of a prompt with their sizes. Malformed ones are skipped.
func (p *proxy) prefixBlocks(in *inbound, parts []promptPart) []dispatch.PrefixBlock {
	blocks := make([]dispatch.PrefixBlock, 0, len(parts))
	for _, part := range parts {
		tokens, err := strconv.Atoi(part.tokens)
		if err != nil {
			p.requestLog.malformedHeader(in, p.names.Prefix, part.text)
			continue
		}
		blocks = append(blocks, dispatch.PrefixBlock{ID: part.id, Tokens: tokens})
	}
	return blocks
}
