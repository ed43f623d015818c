/** Hands an event that concerns a stage to the run of that stage. */
import type {RequestEvent} from './request-events.js';
import type {StageRun} from './stage-run.js';

/**
Hands on an event.
@param run - the current stage's run.
@param event - what happened; events about the request itself do nothing here.
@param nowMs - the time.
*/
export function applyToStage(run: StageRun, event: RequestEvent, nowMs: number): void {
	switch (event.type) {
		case 'notSent': {
			run.notSent(event.dispatchId, nowMs);
			break;
		}

		case 'refused': {
			run.refused(event, nowMs);
			break;
		}

		case 'started': {
			run.started(event, nowMs);
			break;
		}

		case 'chunk': {
			run.chunk(event, nowMs);
			break;
		}

		case 'end': {
			run.ended(event, nowMs);
			break;
		}

		case 'connectionLost': {
			run.connectionLost(event.upstreamId, nowMs);
			break;
		}

		case 'reconnected': {
			run.reconnected(event.upstreamId);
			break;
		}

		case 'incarnationGone': {
			run.incarnationGone(event.upstreamId, nowMs);
			break;
		}

		case 'candidatesChanged': {
			run.candidatesChanged(nowMs);
			break;
		}

		default: {
			break;
		}
	}
}
