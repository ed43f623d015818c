/** What operators write for a whole deployment, row by row. */
import type {Deployment} from './declaration.js';

/** What one row says. */
export type OperatorRow
	= | {readonly type: 'declaration'; readonly deployment: Deployment}
	/** Whether a data hall is being drained: it is while its row is there. */
		| {readonly type: 'hallDrain'; readonly hall: string; readonly isDrained: boolean};
