#include <limits.h>
#include <stdlib.h>
#include <string.h>

#include <openssl/evp.h>

#include "base64.h"

/* EVP uses int for lengths. */
#define TEXT_MAX ((size_t)INT_MAX / 2)

char *
base64_encode(const void *data, size_t len)
{
	char *text;

	if (len > TEXT_MAX)
		return NULL;
	if ((text = malloc((len + 2) / 3 * 4 + 1)) == NULL)
		return NULL;
	EVP_EncodeBlock((unsigned char *)text, data, (int)len);
	return text;
}

char *
base64_decode(const char *text, size_t text_len, size_t *len)
{
	size_t padding;
	char *data;
	int n;

	if (text_len % 4 != 0 || text_len > TEXT_MAX)
		return NULL;
	padding = 0;
	while (padding < 2 && padding < text_len &&
	    text[text_len - 1 - padding] == '=')
		padding++;
	if (memchr(text, '=', text_len - padding) != NULL)
		return NULL;
	if ((data = malloc(text_len / 4 * 3 + 1)) == NULL)
		return NULL;
	n = EVP_DecodeBlock(
	    (unsigned char *)data, (const unsigned char *)text, (int)text_len);
	/*
	 * EVP counts padding as decoded bytes, and strips white space, which
	 * makes the length differ.
	 */
	if (n < 0 || (size_t)n != text_len / 4 * 3) {
		free(data);
		return NULL;
	}
	*len = (size_t)n - padding;
	data[*len] = '\0';
	return data;
}
