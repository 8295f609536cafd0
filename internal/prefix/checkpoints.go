package prefix

// RootBlock is the index of the block whose hash identifies the leading blocks
// of a chain; a shorter chain is identified by its last block.
const RootBlock = 3

// MaxCheckpoints is the largest number of checkpoints of one chain.
const MaxCheckpoints = 64

// Checkpoints are the root block, every fineStride-th block up to fineEnd, every
// coarseStride-th up to coarseEnd, and two beyond.
const (
	fineStride   = 8
	fineEnd      = 256
	coarseStride = 64
	coarseEnd    = 2048
)

var checkpointIndexes = newCheckpointIndexes()

func newCheckpointIndexes() []int {
	steps := []int{RootBlock}
	for end := fineStride; end <= fineEnd; end += fineStride {
		steps = append(steps, end-1)
	}
	for end := fineEnd + coarseStride; end <= coarseEnd; end += coarseStride {
		steps = append(steps, end-1)
	}
	return append(steps, 2*coarseEnd-1, 4*coarseEnd-1)
}

// Root returns the hash that identifies the leading blocks of a chain; ok is
// false for a chain without a whole block.
func (c Chain) Root() (root Hash, ok bool) {
	if len(c) == 0 {
		return 0, false
	}
	return c[min(RootBlock, len(c)-1)], true
}

// CheckpointCount returns the number of checkpoints of a chain of the given
// length in blocks: fixed positions, the same for all chains, and the last
// block. Two chains that share a prefix share the checkpoints inside it.
func CheckpointCount(length int) int {
	count := 0
	for count < len(checkpointIndexes) && checkpointIndexes[count] < length-1 {
		count++
	}
	if length > 0 {
		count++
	}
	return count
}

// CheckpointAt returns the block index of one of the checkpoints of a chain.
func CheckpointAt(checkpoint, length int) int {
	if checkpoint < len(checkpointIndexes) {
		return min(checkpointIndexes[checkpoint], length-1)
	}
	return length - 1
}
