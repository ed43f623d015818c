/** Who told a host of what the platform's store holds. */
export const listSources = {store: 'store', peer: 'peer'} as const;
export type ListSource = (typeof listSources)[keyof typeof listSources];
