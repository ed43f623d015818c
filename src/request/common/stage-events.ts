/** Forwards events that concern a stage to the run of that stage. */
import type {RequestEvent} from './request-events.js';
import type {StageRun} from './stage-run.js';

/**
Forwards an event to a stage run.
@param run - the run of the current stage.
@param event - the event; events about the request itself are ignored.
@param nowMs - the current time.
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
