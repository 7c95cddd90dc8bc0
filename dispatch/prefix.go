package dispatch

import "container/list"

// A Part is one part of a prompt; parts are shared between requests.
type PrefixBlock struct {
	ID     string `json:"i"`
	Tokens int    `json:"t"`
}

// maxKept bounds the parts remembered for one server.
const maxCachedBlocks = 512

// A keptParts remembers which prompt parts were last sent to a server.
type prefixCache struct {
	order *list.List
	index map[string]*list.Element
}

// key names a part as kept for one model and adapter.
func key(model string, p PrefixBlock) string { return model + "\x00" + p.ID }

// kept returns how many tokens of the prompt's beginning the server still keeps.
func (k *prefixCache) cachedTokens(model string, parts []PrefixBlock) int {
	tokens := 0
	for _, p := range parts {
		if _, ok := k.index[key(model, p)]; !ok {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// add remembers the parts as the ones used last.
func (k *prefixCache) touch(model string, parts []PrefixBlock) {
	if k.index == nil {
		k.index = make(map[string]*list.Element)
		k.order = list.New()
	}
	for _, p := range parts {
		name := key(model, p)
		if e, ok := k.index[name]; ok {
			k.order.MoveToFront(e)
			continue
		}
		k.index[name] = k.order.PushFront(name)
	}
	for k.order.Len() > maxCachedBlocks {
		last := k.order.Back()
		delete(k.index, last.Value.(string))
		k.order.Remove(last)
	}
}
