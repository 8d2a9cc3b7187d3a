/** Logs, metrics and the admin port. */
export {createLogger, forPart, type Logger, type LoggerOptions, type LogLevel, logLevels, type PartLogger} from './logger.js';
export {type Labels} from './labels.js';
export {Metrics, type Counter, type Gauge} from './metrics.js';
export {Latency, type LatencyRecorder} from './latency.js';
export {AdminServer, type AdminResponse, type AdminRequest, type AdminRoute} from './admin-server.js';
export {
	DecisionJournal, ReasonCode, type Decision, type DecisionDetail, type ExplainAnswer,
	type QuarantineAnswer, type ReleaseRequest, type StatusAnswer,
	explainAnswerSchema, quarantineAnswerSchema, statusAnswerSchema,
} from './journal/index.js';
export {createOperatorRoutes, type OperatorRoutesOptions} from './operator-routes.js';
export {LineSink} from './line-sink.js';
export {LogLimit, type LogLimitSettings} from './log-limit.js';
