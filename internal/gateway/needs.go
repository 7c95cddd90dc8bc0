package gateway

import (
	"strconv"
	"strings"
	"time"

	"rockcleat/dispatch"
)

// How long a request may wait for a server before it is sent.
const (
	// minPatience is the shortest time after which callers leave a stream that has sent
	// nothing.
	minPatience = 2 * time.Second
	// patienceFactor times the objective for the first byte is when callers leave, or
	// twice as many times the objective for the gap between events.
	patienceFactor = 4
	// waitShare is the part of a caller's patience that a request may wait.
	waitShare = 0.8
	// sendByShare is the part of the objective, in percent, by which a request must be
	// sent for its answer to begin in time.
	sendByShare = 70
	// answerReserve is left of the deadline for the answer itself.
	answerReserve = 400 * time.Millisecond
)

// waitTime returns how long the request may wait for a server: as long as its caller should
// still be there when the answer begins, and as its deadline leaves time for an answer.
func (in *inbound) waitTime() time.Duration {
	patience := max(minPatience, patienceFactor*in.route.FirstByteObjective, 2*patienceFactor*in.route.EventGapObjective)
	wait := time.Duration(float64(patience) * waitShare)
	return max(min(wait, in.deadline.Sub(in.arrived)-answerReserve), 0)
}

// needsOf returns the request as the dispatcher sees it. A header of a model that is
// malformed is logged and counts as missing: the server judges it.
func (p *proxy) needsOf(in *inbound) dispatch.Request {
	needs := dispatch.Request{
		Service: in.service.Name, Priority: in.route.Priority,
		WaitUntil: in.arrived.Add(in.waitTime()), FirstByteObjective: in.route.FirstByteObjective,
	}
	if objective := in.route.FirstByteObjective; objective > 0 {
		needs.SendBy = in.arrived.Add(objective * sendByShare / 100)
	}
	if in.service.Engine == nil {
		return needs
	}
	needs.Model, needs.Adapter = in.target.Model, in.target.Name
	needs.PromptTokens, needs.MaxOutputTokens = p.tokenCounts(in)
	needs.Prefix = p.prefixBlocks(in)
	needs.Gap = dispatch.GapBudget{
		MaxGap: dispatch.InMilliseconds(in.route.EventGapObjective), StepsPerEvent: in.service.Engine.TokensPerEvent,
	}
	return needs
}

// tokenCounts decodes a header PROMPT,OUTPUT; either may be missing.
func (p *proxy) tokenCounts(in *inbound) (prompt, output int) {
	header := in.Header.Get(p.names.Tokens)
	promptText, outputText, _ := strings.Cut(header, ",")
	return p.tokens(in, promptText), p.tokens(in, outputText)
}

// tokens decodes a number of tokens; 0 if there is none that can be.
func (p *proxy) tokens(in *inbound, text string) int {
	text = strings.TrimSpace(text)
	if text == "" {
		return 0
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		p.lines.malformedHeader(in, p.names.Tokens, text)
		return 0
	}
	return n
}

// prefixBlocks decodes a list of blocks ID:TOKENS; malformed ones are left out.
func (p *proxy) prefixBlocks(in *inbound) []dispatch.PrefixBlock {
	header := in.Header.Get(p.names.Prefix)
	if header == "" {
		return nil
	}
	items := strings.Split(header, ",")
	blocks := make([]dispatch.PrefixBlock, 0, len(items))
	for _, item := range items {
		id, size, ok := strings.Cut(strings.TrimSpace(item), ":")
		tokens, err := strconv.Atoi(size)
		if !ok || err != nil {
			p.lines.malformedHeader(in, p.names.Prefix, item)
			continue
		}
		blocks = append(blocks, dispatch.PrefixBlock{ID: id, Tokens: tokens})
	}
	return blocks
}
