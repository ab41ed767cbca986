// Package digest summarises a set of versioned entries in a small hash tree, so
// that two nodes find the differences between their sets with a few short
// messages.
//
// A leaf covers the entries whose keys begin with the same bits, a group covers
// neighbouring leaves, and the root covers all groups. Each hash is the XOR of the
// hashes of its entries, so a change updates one leaf, one group and the root.
package digest

const (
	// GroupCount is the number of groups below the root.
	GroupCount = 32
	// GroupLeaves is the number of leaves in a group.
	GroupLeaves = 32
	// LeafCount is the number of leaves in the tree.
	LeafCount = GroupCount * GroupLeaves

	// leafShift leaves the top 10 bits of a key, log2(LeafCount).
	leafShift = 64 - 10
	// mixFactor is 2^64 divided by the golden ratio, as in Fibonacci hashing.
	mixFactor = 0x9e3779b97f4a7c15
	mixShift  = 29
)

// Tree is the digest of a set. The zero value is the digest of the empty set. It
// isn't safe for concurrent use.
type Tree struct {
	root   uint64
	groups [GroupCount]uint64
	leaves [LeafCount]uint64
}

// LeafOf returns the index of the leaf that covers a key.
func LeafOf(key uint64) int {
	return int(key >> leafShift)
}

// Toggle adds the entry with this key and version hash, or removes it if it's
// in the set.
func (t *Tree) Toggle(key uint64, versionHash uint32) {
	h := hashEntry(key, versionHash)
	leaf := LeafOf(key)
	t.leaves[leaf] ^= h
	t.groups[leaf/GroupLeaves] ^= h
	t.root ^= h
}

// Root returns the hash of the whole set.
func (t *Tree) Root() uint64 {
	return t.root
}

// Group returns the hash of a group, truncated to 32 bits.
func (t *Tree) Group(i int) uint32 {
	return uint32(t.groups[i])
}

// Leaf returns the hash of a leaf, truncated to 32 bits.
func (t *Tree) Leaf(i int) uint32 {
	return uint32(t.leaves[i])
}

// hashEntry mixes all bits of key and version hash, so that entries with similar
// version hashes don't cancel each other out.
func hashEntry(key uint64, versionHash uint32) uint64 {
	h := (key ^ uint64(versionHash)*mixFactor) * mixFactor
	h ^= h >> mixShift
	return h * mixFactor
}
