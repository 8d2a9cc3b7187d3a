/** Frames, messages and connections between the processes of the system. */
export {encodeFrame, FrameDecoder, FrameError, maximumEventLength, maximumFrameBytes, maximumPartBytes, type FrameFault} from './frames.js';
export {
	isGatewayMessage, maximumPathLength, messageSchema, protocolVersion, type Message, type GatewayMessage, type MessageOf, type StreamMessage,
} from './messages.js';
export {Connection, idleHeartbeatInterval, idleSilenceMilliseconds, silenceMilliseconds} from './connection.js';
export {MessagePriority} from './send-queue.js';
export {dial, Listener, type Security} from './transport.js';
