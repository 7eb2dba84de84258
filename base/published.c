#include "base/published.h"

#include <urcu-bp.h>

/*
 * ThreadSanitizer does not see the order that a grace period gives, so it
 * is told: what a reader did comes before what follows the swap.
 */
#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
#define order_release(address) __tsan_release(address)
#define order_acquire(address) __tsan_acquire(address)
#else
#define order_release(address) ((void)(address))
#define order_acquire(address) ((void)(address))
#endif

void published_init(struct published *p, void *first)
{
	p->current = first;
}

const void *published_read_begin(struct published *p)
{
	urcu_bp_read_lock();
	return __atomic_load_n(&p->current, __ATOMIC_ACQUIRE);
}

void published_read_end(struct published *p)
{
	order_release(p);
	urcu_bp_read_unlock();
}

void *published_swap(struct published *p, void *next)
{
	void *old = __atomic_exchange_n(&p->current, next, __ATOMIC_ACQ_REL);

	urcu_bp_synchronize_rcu();
	order_acquire(p);
	return old;
}
