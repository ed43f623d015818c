import t from 'tap';
import {ManualClock} from '../../base/common/clock.js';
import {Emitter} from '../../base/common/emitter.js';
import {MeshStandin} from '../../../test/mesh-standin.js';
import type {ContentEnds} from '../common/end-record.js';
import {QuarantineNews} from './quarantine-news.js';

const newsOf = (digit: string): ContentEnds => ({contentId: digit.repeat(32), ends: [{serverId: 's@1', ageMs: 5}], cleared: ['r@1']});

function makeNews(known: ContentEnds[] = []) {
	const clock = ManualClock.create();
	const learned = Emitter.create<ContentEnds>();
	const heard: Array<readonly ContentEnds[]> = [];
	const mesh = MeshStandin.create();
	QuarantineNews.create({
		quarantine: {
			onDidLearn: learned.event,
			hear(contents) {
				heard.push(contents);
			},
			all: () => known,
		},
		mesh,
		clock,
	});
	return {
		clock, learned, heard, mesh,
	};
}

t.test('updates that arise within a short time are broadcast to all peers in one message, and are received unchanged', async t => {
	const {clock, learned, heard, mesh} = makeNews();
	learned.fire(newsOf('a'));
	learned.fire({...newsOf('b'), trials: {count: 1, ageMs: 0}});
	t.same(mesh.sent, []);
	clock.advance(10);
	t.equal(mesh.sent.length, 1);
	const [{to, message}] = mesh.sent;
	t.equal(to, 'all');
	mesh.receive('peer', message);
	t.same(heard, [[newsOf('a'), {...newsOf('b'), trials: {count: 1, ageMs: 0}}]]);
});

t.test('a host that connects, for the first time or again, gets the full record', async t => {
	const known = Array.from({length: 1100}, (_, index) => ({...newsOf('a'), contentId: String(index).padStart(32, '0')}));
	const {mesh} = makeNews(known);
	mesh.connect('late');
	t.same(mesh.sent.map(({to, message}) => [to, message.type === 'fatalContents' ? message.contents.length : 0]), [['late', 500], ['late', 500], ['late', 100]]);
});
