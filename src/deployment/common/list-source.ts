/** Source from which a host received the content of the platform's store, or the report that a server is leaving. */
export const listSources = {store: 'store', peer: 'peer', answer: 'answer'} as const;
export type ListSource = (typeof listSources)[keyof typeof listSources];
