import {EndpointSign, type LoadEvent, type LoadTracker} from '../../policy/dispatch/index.js';
import {type EndpointPool} from './endpoint-pool.js';

/** Tells the endpoint pool what a load event of another instance shows of an endpoint. Must come before the event ends the run that it names. */
export function reportOthersSign({endpoints, loadTracker}: {readonly endpoints: EndpointPool; readonly loadTracker: LoadTracker}, event: LoadEvent): void {
	switch (event.type) {
		case 'placed': {
			endpoints.reportOther(event.run.endpoint, {type: 'sent-by-other'});
			break;
		}

		case 'first-event': {
			reportRun({endpoints, loadTracker}, event.id, EndpointSign.response);
			break;
		}

		case 'ended': {
			reportRun({endpoints, loadTracker}, event.id, event.sign);
			break;
		}

		case 'owner-lost':
		case 'endpoint-restarted':
		case 'waiting':
		case 'classes':
		case 'kept':
			// They show nothing of an endpoint's responses.
	}
}

function reportRun({endpoints, loadTracker}: {readonly endpoints: EndpointPool; readonly loadTracker: LoadTracker}, id: string, sign: EndpointSign | undefined): void {
	const run = loadTracker.run(id);
	if (run === undefined || sign === undefined) {
		return;
	}

	endpoints.reportOther(run.endpoint, sign === EndpointSign.silence ? {type: 'silent', sentAt: run.placedAt} : {type: 'answered-other'});
}
