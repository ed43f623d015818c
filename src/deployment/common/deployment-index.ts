/** Indexes a declaration for lookups: the route of a path, the workspace of a key, the pool of a name. */
import type {
	Deployment, PoolDeclaration, Route, WorkspaceDeclaration,
} from './declaration.js';
import {routeProblemOf, workspaceProblemOf} from './declaration-problems.js';

const maxShownNameLength = 100;

/** One version of the declaration, indexed. */
export class DeploymentIndex {
	static create(deployment: Deployment): DeploymentIndex {
		return new DeploymentIndex(deployment);
	}

	private readonly routesByHost = new Map<string, Route[]>();
	private readonly poolsByName: ReadonlyMap<string, PoolDeclaration>;
	private readonly workspacesByKey = new Map<string, WorkspaceDeclaration>();
	private readonly problemsByItem = new Map<Route | WorkspaceDeclaration, string>();

	private constructor(readonly deployment: Deployment) {
		for (const route of deployment.routes) {
			const hostName = route.hostName.toLowerCase();
			const routes = this.routesByHost.get(hostName) ?? [];
			routes.push(route);
			this.routesByHost.set(hostName, routes);
		}

		for (const routes of this.routesByHost.values()) {
			// The longest prefix must match first.
			routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
		}

		this.poolsByName = new Map(deployment.pools.map(pool => [pool.name, pool]));
		for (const workspace of deployment.workspaces ?? []) {
			for (const key of workspace.keys) {
				this.workspacesByKey.set(key, workspace);
			}
		}

		this.collectProblems();
	}

	get version(): number {
		return this.deployment.version;
	}

	/** Whether workspaces and their keys are declared, so that requests need a key. */
	get hasKeys(): boolean {
		return this.deployment.workspaces !== undefined;
	}

	/** What can't be used of the declaration, each with its place and reason. */
	get problems(): readonly string[] {
		return [...this.deployment.problems ?? [], ...this.problemsByItem.values()];
	}

	/**
	Returns why no request of a route or a workspace can be served.
	@param item - a route or workspace of this declaration.
	@returns the place and the reason; undefined if it can be used.
	*/
	problemOf(item: Route | WorkspaceDeclaration): string | undefined {
		return this.problemsByItem.get(item);
	}

	/**
	Finds the route with the longest prefix.
	@param host - the request's host; a port is ignored.
	@param path - the request's path; a query is ignored.
	@returns the route, or undefined if none matches.
	*/
	route(host: string, path: string): Route | undefined {
		const hostName = host.replace(/:\d*$/v, '').toLowerCase();
		const [plainPath] = path.split('?', 1);
		return this.routesByHost.get(hostName)?.find(route => plainPath.startsWith(route.pathPrefix));
	}

	pool(name: string): PoolDeclaration | undefined {
		return this.poolsByName.get(name);
	}

	/**
	Finds the workspace that a key belongs to.
	@param key - the key as the caller sent it.
	@returns the workspace, or undefined if the key belongs to none.
	*/
	workspaceOf(key: string): WorkspaceDeclaration | undefined {
		return this.workspacesByKey.get(key);
	}

	private collectProblems(): void {
		const {routes, workspaces = []} = this.deployment;
		for (const [index, route] of routes.entries()) {
			this.addProblem(`route ${index}`, route, routeProblemOf(route));
		}

		for (const [index, workspace] of workspaces.entries()) {
			this.addProblem(`workspace ${index}`, workspace, workspaceProblemOf(workspace));
		}
	}

	private addProblem(place: string, item: Route | WorkspaceDeclaration, reason: string | undefined): void {
		if (reason !== undefined) {
			this.problemsByItem.set(item, `${place} (${JSON.stringify(item.name.slice(0, maxShownNameLength))}): ${reason}`);
		}
	}
}
