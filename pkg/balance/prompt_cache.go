package balance

import (
	lru "github.com/hashicorp/golang-lru/v2"
)

// promptCacheSize bounds the prompt parts tracked per engine.
const promptCacheSize = 512

// promptCache approximates the prompt cache of an engine by the parts most recently sent to it.
type promptCache struct{ parts *lru.Cache[string, int] }

func newPromptCache() *promptCache {
	// New fails only for a size that is not positive.
	cache, _ := lru.New[string, int](promptCacheSize)
	return &promptCache{parts: cache}
}

// cachedTokens returns the number of tokens in the longest cached prefix.
func (k *promptCache) cachedTokens(parts []Part) int {
	if k == defaultState.cache {
		return 0
	}
	tokens := 0
	for _, p := range parts {
		cached, ok := k.parts.Get(p.ID)
		if !ok {
			break
		}
		tokens += min(cached, p.Tokens)
	}
	return tokens
}

func (k *promptCache) add(parts []Part) {
	for _, p := range parts {
		k.parts.Add(p.ID, p.Tokens)
	}
}
