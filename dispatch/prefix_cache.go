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
	lru   *list.List
	byKey map[string]*list.Element
}

func blockKey(target string, b PrefixBlock) string { return target + "\x00" + b.ID }

// cachedTokens returns the length of the longest cached prefix, in tokens.
func (c *prefixCache) cachedTokens(target string, blocks []PrefixBlock) int {
	tokens := 0
	for _, b := range blocks {
		if _, ok := c.byKey[blockKey(target, b)]; !ok {
			break
		}
		tokens += b.Tokens
	}
	return tokens
}

// touch marks the blocks as the most recently used ones and evicts the least recently used beyond
// maxCachedBlocks.
func (c *prefixCache) touch(target string, blocks []PrefixBlock) {
	if c.byKey == nil {
		c.byKey = make(map[string]*list.Element)
		c.lru = list.New()
	}
	for _, b := range blocks {
		key := blockKey(target, b)
		if e, ok := c.byKey[key]; ok {
			c.lru.MoveToFront(e)
			continue
		}
		c.byKey[key] = c.lru.PushFront(key)
	}
	for c.lru.Len() > maxCachedBlocks {
		last := c.lru.Back()
		delete(c.byKey, last.Value.(string))
		c.lru.Remove(last)
	}
}
