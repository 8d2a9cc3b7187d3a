/** Logs, metrics and the admin port. */
export {createLogger, forPart, type Logger, type LoggerOptions, type LogLevel, logLevels, type PartLogger} from './logger.js';
export {Metrics, type Counter, type Gauge, type Labels} from './metrics.js';
export {Latency, type LatencyRecorder} from './latency.js';
export {AdminServer, type AdminResponse, type AdminRequest, type AdminRoute} from './admin-server.js';
export {
	createOperatorRoutes, DecisionJournal, ReasonCode, type Decision, type DecisionDetail, type ExplainAnswer, type OperatorRoutesOptions,
	type QuarantineAnswer, type ReleaseRequest, type StatusAnswer,
	explainAnswerSchema, quarantineAnswerSchema, statusAnswerSchema,
} from './journal/index.js';
export {LineSink} from './line-sink.js';
