package balance

import (
	lru "github.com/hashicorp/golang-lru/v2"
)

// keptPartsSize bounds the parts noted of one engine.
const keptPartsSize = 512

// keptParts is a guess at the prompt parts that an engine keeps: those sent to it last.
type keptParts struct{ parts *lru.Cache[string, int] }

func newKeptParts() *keptParts {
	// The size is positive, so that no error can come.
	cache, _ := lru.New[string, int](keptPartsSize)
	return &keptParts{parts: cache}
}

// match returns the tokens of the leading parts that are kept.
func (k *keptParts) match(parts []Part) int {
	if k == unseen.kept {
		return 0
	}
	tokens := 0
	for _, p := range parts {
		kept, ok := k.parts.Get(p.ID)
		if !ok {
			break
		}
		tokens += min(kept, p.Tokens)
	}
	return tokens
}

func (k *keptParts) add(parts []Part) {
	for _, p := range parts {
		k.parts.Add(p.ID, p.Tokens)
	}
}
