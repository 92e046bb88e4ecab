/* Shared by the files of the harness. */
#ifndef REVIEW_KIT_PRIVATE_H
#define REVIEW_KIT_PRIVATE_H

#include <sys/types.h>

/* The temporary folder of this run. */
extern char kit_folder[128];

/** kit_note_child() - End the process @pid when the case ends */
void kit_note_child(pid_t pid);

void kit_forget_child(pid_t pid);

#endif
