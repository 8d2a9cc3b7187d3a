import {type RoutingTableInput} from '../../routing/index.js';
import {type SuccessionFinding, type TableFinding} from './findings.js';
import {checkLimits} from './limits.js';
import {checkMatching} from './matching.js';
import {checkReferences} from './references.js';

/** Everything that is wrong, or has no effect, in a routing table by itself. */
export function checkTable(table: RoutingTableInput): readonly TableFinding[] {
	return [...checkMatching(table), ...checkReferences(table), ...checkLimits(table)];
}

/** Gateways ignore a version that is not higher than the one that they have in force. */
export function checkSuccession({version}: RoutingTableInput, inForce: RoutingTableInput): readonly SuccessionFinding[] {
	return version > inForce.version ? [] : [{type: 'version-not-higher', version, inForce: inForce.version, place: {type: 'table', field: 'version'}}];
}
