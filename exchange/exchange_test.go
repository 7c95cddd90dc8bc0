package exchange_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/exchange"
)

// A wordLog is an exchange.Log of words in order of arrival.
type wordLog struct {
	epoch uint32
	words []string
	// returned is the number of records returned by Since.
	returned int
}

func (l *wordLog) Epoch() uint32 { return l.epoch }

func (l *wordLog) Since(after uint64) ([]string, uint64) {
	changed := l.words[min(int(after), len(l.words)):]
	l.returned += len(changed)
	return changed, uint64(len(l.words))
}

func (l *wordLog) Merge(records []string) (before, after uint64) {
	before = uint64(len(l.words))
	for _, r := range records {
		if !slices.Contains(l.words, r) {
			l.words = append(l.words, r)
		}
	}
	return before, uint64(len(l.words))
}

// A pair is a log, its peer, and the link between them.
type pair struct {
	log, peer *wordLog
	link      *exchange.Link[string]
	// messages is the number of exchanges in which the message or the reply had content.
	messages int
}

func newPair() *pair {
	p := &pair{log: &wordLog{epoch: 1}, peer: &wordLog{epoch: 2}}
	p.link = exchange.NewLink[string](p.log)
	return p
}

// exchange sends a message to the named peer. If replyLost is set, the reply is dropped.
func (p *pair) exchange(name string, replyLost bool) {
	m := p.link.Message(name)
	reply := exchange.Answer[string](p.peer, m)
	if len(m.Records) > 0 || reply != nil {
		p.messages++
	}
	if !replyLost {
		p.link.Apply(reply)
	}
}

func TestExchange(t *testing.T) {
	tests := map[string]struct {
		play func(p *pair)
		want []string
		// messages is the expected number of exchanges with content.
		messages int
	}{
		"nothing is known": {play: func(p *pair) { p.exchange("peer", false) }},
		"both ways": {
			play: func(p *pair) {
				p.log.words, p.peer.words = []string{"a"}, []string{"b"}
				p.exchange("peer", false)
				p.exchange("peer", false)
			},
			want: []string{"a", "b"}, messages: 1,
		},
		"a reply is lost": {
			play: func(p *pair) {
				p.log.words = []string{"a"}
				p.peer.words = []string{"b"}
				p.exchange("peer", true)
				p.exchange("peer", false)
				p.exchange("peer", false)
			},
			want: []string{"a", "b"}, messages: 2,
		},
		"the peer starts anew": {
			play: func(p *pair) {
				p.log.words = []string{"a", "b"}
				p.exchange("peer", false)
				p.peer = &wordLog{epoch: 3}
				for range 3 {
					p.exchange("peer", false)
				}
			},
			want: []string{"a", "b"}, messages: 3,
		},
		"another peer": {
			play: func(p *pair) {
				p.log.words = []string{"a"}
				p.exchange("peer", false)
				p.peer = &wordLog{epoch: 4}
				p.exchange("other", false)
			},
			want: []string{"a"}, messages: 2,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPair()
			test.play(p)
			for _, l := range []*wordLog{p.log, p.peer} {
				got := slices.Sorted(slices.Values(l.words))
				assert.DeepEqual(t, got, test.want)
			}
			assert.Equal(t, p.messages, test.messages)
		})
	}
}
