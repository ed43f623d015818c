/** Where a host learned about the content of the platform's store, or about a server that is leaving. */
export const listSources = {store: 'store', peer: 'peer', answer: 'answer'} as const;
export type ListSource = (typeof listSources)[keyof typeof listSources];
