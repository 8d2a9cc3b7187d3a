import {type Body} from '../concurrency/index.js';
import {type ModelRun, runModel} from './model-run.js';
import {type Backend} from './request-executor-options.js';
import {type RunResult} from './reservation.js';
import {runService, type ServiceRun} from './service-run.js';

/** Runs a request at the endpoint, by kind of endpoint. */
export function runRequest(backend: Backend, run: Omit<ModelRun, 'engine'> & Omit<ServiceRun, 'service'>): Body<RunResult> {
	switch (backend.type) {
		case 'engine': {
			return runModel({...run, engine: backend.client});
		}

		case 'service': {
			return runService({...run, service: backend.client});
		}
	}
}
