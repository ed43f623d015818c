/** Injection tokens of the components that every daemon has. */
import type {InjectionToken} from 'tsyringe';
import type {LifecycleManager} from '../../base/common/lifecycle.js';
import type {WireClientOptions} from '../../wire/node/wire-client.js';
import type {WireServer} from '../../wire/node/wire-server.js';

export const lifecycleToken: InjectionToken<LifecycleManager> = Symbol('LifecycleManager');
export const wireOptionsToken: InjectionToken<WireClientOptions> = Symbol('WireClientOptions');
export const wireServerToken: InjectionToken<WireServer> = Symbol('WireServer');
