/** Who told a host of what the platform's store holds, or of a server that leaves. */
export const listSources = {store: 'store', peer: 'peer', answer: 'answer'} as const;
export type ListSource = (typeof listSources)[keyof typeof listSources];
