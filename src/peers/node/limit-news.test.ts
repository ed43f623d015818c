import t from 'tap';
import {ManualClock} from '../../base/common/clock.js';
import {Emitter} from '../../base/common/emitter.js';
import type {LimitNews as News} from '../../deployment/common/server-limits.js';
import {encodeFrame, FrameDecoder} from '../../wire/common/frame-codec.js';
import type {Message} from '../../wire/common/messages.js';
import {LimitNews} from './limit-news.js';
import type {PeerMessage} from './peer-mesh.js';

function makeNews(known: News[] = []) {
	const learned = Emitter.create<News>();
	const received = Emitter.create<PeerMessage>();
	const connected = Emitter.create<string>();
	const heard: News[] = [];
	const sent: Array<{readonly to: string; readonly message: Message}> = [];
	LimitNews.create({
		limits: {
			onDidLearn: learned.event,
			hear(news) {
				heard.push(...news);
			},
			all: () => known,
		},
		mesh: {
			onDidReceive: received.event,
			onDidConnect: connected.event,
			send(to, message) {
				sent.push({to, message});
				return true;
			},
			broadcast(message) {
				sent.push({to: 'all', message});
			},
		},
		clock: ManualClock.create(),
	});
	return {
		learned, received, connected, heard, sent,
	};
}

t.test('what is learned goes to all peers, and is taken in as it was sent', async t => {
	const {learned, received, heard, sent} = makeNews();
	const news: News[] = [{serverId: 's', perS: 0.5, namedAgoMs: 0}, {
		serverId: 's', perS: 0.5, namedAgoMs: 700, endedAgoMs: 20,
	}];
	for (const each of news) {
		learned.fire(each);
	}

	for (const {to, message} of sent) {
		t.equal(to, 'all');
		const decoded = FrameDecoder.create().push(encodeFrame(message));
		t.ok(decoded.ok);
		received.fire({hostId: 'peer', message: decoded.ok ? decoded.value[0] : message});
	}

	t.same(heard, news);
});

t.test('a host that connects is told all that is known, and nothing where nothing is', async t => {
	const limits: News[] = Array.from({length: 1200}, (_, index) => ({serverId: `s${index}`, perS: 1, namedAgoMs: 5}));
	const some = makeNews(limits);
	some.connected.fire('new');
	t.same(some.sent, [{to: 'new', message: {type: 'serverLimits', limits: limits.slice(200)}}], 'the latest, where they are too many');
	const nothing = makeNews();
	nothing.connected.fire('new');
	t.same(nothing.sent, []);
});
