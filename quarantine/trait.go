package quarantine

// A Kind is a kind of Trait.
type Kind string

// The kinds of traits. kindRules holds the rule of each.
const (
	// Content is the whole content of a request: its copies share it.
	Content Kind = ""
	// Part is a part of a prompt that many requests to a service share.
	Part Kind = "part"
)

// String returns the kind for operators.
func (k Kind) String() string {
	if k == Content {
		return "content"
	}
	return string(k)
}

// A Trait is a property that requests share and that may be what crashes servers. Sound requests may share all other
// traits of a request that crashes servers.
type Trait struct {
	Key  Key
	Kind Kind
	// Name is the ID of a part as callers send it, cut to maxNameLength bytes. It is empty for Content.
	Name string
}

// ContentTrait returns the trait of the requests with the content that a Key identifies.
func ContentTrait(k Key) Trait { return Trait{Key: k} }

// Bounds of what callers send.
const (
	// maxParts is the maximum number of parts of one prompt that become traits.
	maxParts = 256
	// maxNameLength is the maximum length of a Name in bytes.
	maxNameLength = 64
)

// PartTraits returns the traits of a prompt for a service, without repetitions. ids lists the parts of the prompt in
// order. The last one belongs to the request or its session alone and is not a trait.
func PartTraits(service string, ids []string) []Trait {
	if len(ids) < 2 {
		return nil
	}
	shared := ids[:min(len(ids)-1, maxParts)]
	traits := make([]Trait, 0, len(shared))
	seen := make(map[string]struct{}, len(shared))
	for _, id := range shared {
		if _, repeated := seen[id]; repeated {
			continue
		}
		seen[id] = struct{}{}
		traits = append(traits, Trait{Key: keyFrom(newHash(string(Part), service, id)), Kind: Part, Name: id[:min(len(id), maxNameLength)]})
	}
	return traits
}

// A Suspect is a trait of a request that was running on a server when it crashed.
type Suspect struct {
	Trait
	// OnTrial reports whether the request was the only one with the trait that was being sent, since the trait was already
	// suspected.
	OnTrial bool
}
