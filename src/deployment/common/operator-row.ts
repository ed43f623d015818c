/** The rows that operators write for a whole deployment. */
import type {Deployment} from './declaration.js';

/** The content of one row. */
export type OperatorRow
	= | {readonly type: 'declaration'; readonly deployment: Deployment}
	/** Whether a data hall is being drained: the drain lasts as long as its row exists. */
		| {readonly type: 'hallDrain'; readonly hall: string; readonly isDrained: boolean};
