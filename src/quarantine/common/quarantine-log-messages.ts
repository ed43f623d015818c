/** Log messages that `pumicehatch logs quarantine` looks for, shared by the code that writes them and the command. */
export const quarantineLogMessages = {
	connectionLost: 'A call broke off; whether its server has ended is being found out.',
	serverCrashed: 'A server ended while it ran a request.',
	barred: 'A request is in quarantine: it is sent to no server any more.',
	trial: 'A request in quarantine is tried once more.',
	lifted: 'A request is out of quarantine: it has run to a whole answer.',
	partCrashed: 'A server ended while it ran a request with a part of a prompt.',
	partBarred: 'A part of prompts is in quarantine: requests with it are sent to no server any more.',
	partTrial: 'A part of prompts in quarantine is tried once more.',
	partLifted: 'A part of prompts is out of quarantine: a request with it has run to a whole answer.',
} as const;
