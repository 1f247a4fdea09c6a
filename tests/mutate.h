#ifndef MUTATE_H
#define MUTATE_H

#include <random>
#include <string>

// Returns the text with a few bytes replaced, removed, duplicated or inserted.
inline std::string
Mutate(std::mt19937 &random, std::string text)
{
	static const char bytes[] = "{}[]\",:0123456789-eE.\\u\0\xff ";

	for (unsigned n = 1 + random() % 4; n > 0 && !text.empty(); n--) {
		size_t at = random() % text.size();
		switch (random() % 4) {
		case 0:
			text[at] = bytes[random() % (sizeof(bytes) - 1)];
			break;
		case 1:
			text.erase(at, 1 + random() % 8);
			break;
		case 2:
			text.insert(at, text.substr(at, random() % 16));
			break;
		case 3:
			text.insert(at, "99999999999999999999");
			break;
		}
	}
	return text;
}

#endif // MUTATE_H
