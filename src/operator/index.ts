/** The operator's commands; each takes a context and returns its output and exit code. */
export {MissingSettingError, type OperatorContext} from './context.js';
export {
	checkFile, publishFile, showAudit, showCatalogue, showHistory, type PublishOptions,
} from './catalogue-commands.js';
export {LocatedDocument, type DocumentError, type FieldPath} from './document-lines.js';
export * from './routing-check/index.js';
export {checkRouting, type RoutingQuery} from './routing-command.js';
export {explainRequest, listQuarantine, releaseQuarantine, showStatus} from './fleet-commands.js';
export {checkSettings, explainFromLogs, showDutiesFromLogs} from './log-files.js';
export {showStatementsFromLogs, type StatementQuery, type LoggedStatement} from './statements-in-force.js';
export {OperatorExit, type CommandResult} from './result.js';
