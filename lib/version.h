#ifndef LAGOONPIN_VERSION_H
#define LAGOONPIN_VERSION_H

/* The release that --version prints. */
#define LAGOONPIN_VERSION "0.1.0"

#endif /* LAGOONPIN_VERSION_H */
