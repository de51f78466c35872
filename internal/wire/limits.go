package wire

const (
	// maxMessageBytes bounds one message: the default of drpc, which older builds have on both sides.
	maxMessageBytes = 4 << 20
	// maxFrameBytes is the size of the longest frame into which drpc splits a message.
	maxFrameBytes = 64 << 10
	// maxMethodBytes bounds the name of a method.
	maxMethodBytes = 256
	// maxControlBytes bounds the packets that carry neither a message nor the name of a method, and
	// maxControlPackets how many of them may come without a message.
	maxControlBytes   = 16 << 10
	maxControlPackets = 16
)
