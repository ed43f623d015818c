/** Text of one event of a stream; the same on all servers, so that a stream can go on at another one. */
export function eventOf(path, index, eventBytes = 55) {
	return `id: ${index}\ndata: ${`${path} token ${index} `.padEnd(eventBytes, '.')}\n\n`;
}
