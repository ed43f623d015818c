/** Log messages that `pumicehatch explain` matches, shared by the components that log them and the command. */
export const requestLogMessages = {
	ended: 'A request has ended.',
	refusedForPredictedWait: 'A request was refused at the door: its steps would wait too long.',
	refusedByQuotes: 'A request was refused at the door: its pools have no room for it before its caller leaves.',
	refusedOnAdmission: 'A request was turned away at the door.',
	poolBacklog: 'Pieces wait for a pool.',
} as const;
