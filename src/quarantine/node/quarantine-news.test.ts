import t from 'tap';
import {ManualClock} from '../../base/common/clock.js';
import {Emitter} from '../../base/common/emitter.js';
import type {PeerMessage} from '../../peers/node/peer-mesh.js';
import {encodeFrame, FrameDecoder} from '../../wire/common/frame-codec.js';
import type {Message} from '../../wire/common/messages.js';
import type {ContentEnds} from '../common/end-record.js';
import {QuarantineNews} from './quarantine-news.js';

const newsOf = (digit: string): ContentEnds => ({contentId: digit.repeat(32), ends: [{serverId: 's@1', ageMs: 5}], cleared: ['r@1']});

function makeNews(known: ContentEnds[] = []) {
	const clock = ManualClock.create();
	const learned = Emitter.create<ContentEnds>();
	const received = Emitter.create<PeerMessage>();
	const connected = Emitter.create<string>();
	const heard: Array<readonly ContentEnds[]> = [];
	const sent: Array<{readonly to: string; readonly message: Message}> = [];
	QuarantineNews.create({
		quarantine: {
			onDidLearn: learned.event,
			hear(contents) {
				heard.push(contents);
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
		clock,
	});
	return {
		clock, learned, received, connected, heard, sent,
	};
}

t.test('what is learned within a moment goes to all peers in one message, and is taken in as it was sent', async t => {
	const {clock, learned, received, heard, sent} = makeNews();
	learned.fire(newsOf('a'));
	learned.fire({...newsOf('b'), trials: {count: 1, ageMs: 0}});
	t.same(sent, []);
	clock.advance(10);
	t.equal(sent.length, 1);
	const [{to, message}] = sent;
	t.equal(to, 'all');
	const decoded = FrameDecoder.create().push(encodeFrame(message));
	t.ok(decoded.ok);
	received.fire({hostId: 'peer', message: decoded.ok ? decoded.value[0] : message});
	t.same(heard, [[newsOf('a'), {...newsOf('b'), trials: {count: 1, ageMs: 0}}]]);
});

t.test('a host that connects, for the first time or again, is told everything', async t => {
	const known = Array.from({length: 1100}, (_, index) => ({...newsOf('a'), contentId: String(index).padStart(32, '0')}));
	const {connected, sent} = makeNews(known);
	connected.fire('late');
	t.same(sent.map(({to, message}) => [to, message.type === 'fatalContents' ? message.contents.length : 0]), [['late', 500], ['late', 500], ['late', 100]]);
});
