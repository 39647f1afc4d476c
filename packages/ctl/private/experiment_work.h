/*
 * experiment_work - policies side by side in the model of engines that prefill
 * long prompts beside short requests.
 */
#ifndef KCF_PRIVATE_EXPERIMENT_WORK_H
#define KCF_PRIVATE_EXPERIMENT_WORK_H

#include "ctl.h"

/*
 * experiment_work - kcfctl experiment --work; its options follow.
 */
ctl_exit_t experiment_work(const ctl_t *c, int argc, char **argv);

#endif
