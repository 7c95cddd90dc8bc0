package dispatch

import "container/list"

// A PrefixBlock is one block of a prompt's beginning; blocks are shared between requests.
type PrefixBlock struct {
	ID     string `json:"i"`
	Tokens int    `json:"t"`
}

// maxCachedBlocks bounds the blocks remembered for one server.
const maxCachedBlocks = 512

// A prefixCache remembers which prompt blocks were last sent to a server, as an estimate
// of what the server has cached.
//
// Its zero value is empty.
type prefixCache struct {
	order *list.List
	index map[string]*list.Element
}

// blockKey names a block as cached for one model or adapter.
func blockKey(target string, b PrefixBlock) string { return target + "\x00" + b.ID }

// cachedTokens returns how many tokens of the prompt's beginning the server has cached.
func (c *prefixCache) cachedTokens(target string, blocks []PrefixBlock) int {
	tokens := 0
	for _, b := range blocks {
		if _, ok := c.index[blockKey(target, b)]; !ok {
			break
		}
		tokens += b.Tokens
	}
	return tokens
}

// touch remembers the blocks as the ones used last.
func (c *prefixCache) touch(target string, blocks []PrefixBlock) {
	if c.index == nil {
		c.index = make(map[string]*list.Element)
		c.order = list.New()
	}
	for _, b := range blocks {
		key := blockKey(target, b)
		if e, ok := c.index[key]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.index[key] = c.order.PushFront(key)
	}
	for c.order.Len() > maxCachedBlocks {
		last := c.order.Back()
		delete(c.index, last.Value.(string))
		c.order.Remove(last)
	}
}
