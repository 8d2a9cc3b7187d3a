/** Where a stream that its caller takes up may go on. Load pattern: see origins.ts. */
import {type OriginFinding} from './origins.js';

/** What a stream that goes on is bound to; without a build it may go on anywhere. */
export type TakeUp = {readonly type: 'go-on'; readonly build: string | undefined; readonly reason: 'known' | 'one-build'} | {readonly type: 'refuse'; readonly reason: 'unknown' | 'contradictory'};

/**
 * Decides by what is known of a stream, and the builds that have lately served its service. A stream of unknown origin goes on only where no
 * other build can have begun it; `builds` is undefined where that is not known.
 */
export function decideTakeUp(finding: OriginFinding, builds: ReadonlySet<string> | undefined): TakeUp {
	switch (finding.type) {
		case 'known': {
			return {type: 'go-on', build: finding.build, reason: 'known'};
		}

		case 'contradictory': {
			return {type: 'refuse', reason: 'contradictory'};
		}

		case 'unknown': {
			return builds === undefined || builds.size > 1 ? {type: 'refuse', reason: 'unknown'} : {type: 'go-on', build: [...builds][0], reason: 'one-build'};
		}
	}
}
