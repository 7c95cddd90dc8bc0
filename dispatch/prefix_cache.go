package dispatch

import "container/list"

// A PrefixBlock is one block of a prompt's prefix. Requests whose prompts begin alike share blocks.
type PrefixBlock struct {
	ID     string `json:"i"`
	Tokens int    `json:"t"`
}

// maxCachedBlocks is the maximum number of blocks kept per server.
const maxCachedBlocks = 512

// A prefixCache is an LRU list of the prompt blocks sent to a server. It estimates the contents of
// the server's own prefix cache.
//
// Its zero value is empty.
type prefixCache struct {
	order *list.List
	index map[string]*list.Element
}

func blockKey(target string, b PrefixBlock) string { return target + "\x00" + b.ID }

// cachedTokens returns the length of the longest cached prefix, in tokens.
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

// touch marks the blocks as the most recently used ones and evicts the least recently used beyond
// maxCachedBlocks.
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
